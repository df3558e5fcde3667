package chaos

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// The settings that the gateways are given. All bounds that the rules use follow from these.
const (
	meanUnits     = 2.0
	mostUnits     = 6.0
	drainGrace    = time.Second
	askWithin     = 10 * time.Second
	fallWindow    = 3 * time.Second
	rampTime      = 8 * time.Second
	startCapacity = 0.28
	coldBears     = 51.0 // units that a server bears in the first fallWindow after its start
	dedupWindow   = 3 * time.Second
	connectLimit  = 250 * time.Millisecond
	connIdle      = 4 * time.Second
	attemptsLimit = 3
)

// The rules' own figures.
const (
	socketSlack   = 50 * time.Millisecond  // by which each limit of time is longer on sockets
	notifyWithin  = 6 * time.Second        // a change counts as told at the latest so long after discovery had it and could be reached
	cancelSlack   = 100 * time.Millisecond // an attempt may begin so long after its client has closed
	deadlineSlack = 150 * time.Millisecond // by which the time told to a server may exceed what the client has left
	answerSlack   = 500 * time.Millisecond // an answer may be late by this and is none of those lost
	acceptFor     = 400 * time.Millisecond // new connections come so long after SIGTERM
)

// effect is what a repeat of a request does.
type effect string

const (
	repeatable effect = "repeatable"
	byKey      effect = "by_key"
	once       effect = "once"
)

// class is a kind of request.
type class struct {
	name     string
	effect   effect
	aim      time.Duration
	deadline time.Duration
	write    bool
	worth    float64
}

var classes = []class{
	{"pull", repeatable, 300 * time.Millisecond, 1500 * time.Millisecond, false, 2},
	{"push", byKey, 400 * time.Millisecond, 2 * time.Second, true, 2},
	{"move", once, 150 * time.Millisecond, 400 * time.Millisecond, true, 1},
	{"scan", repeatable, time.Second, 3 * time.Second, false, 1},
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// slowStartBound is how many calls of mean work a server may get in fallWindow when that ends at an age.
func slowStartBound(age time.Duration) float64 {
	capacity := startCapacity + (1-startCapacity)*min(1, age.Seconds()/rampTime.Seconds())
	n := coldBears / meanUnits * capacity / startCapacity
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// gatewayConfig is the configuration file of one gateway.
func gatewayConfig(o Options, number int, listen, discovery string, known map[string]any) ([]byte, error) {
	lanes, writes := []any{}, []bool{}
	for _, c := range classes {
		lanes = append(lanes, map[string]any{"Name": c.name, "PromiseMs": ms(c.aim), "DeadlineMs": ms(c.deadline),
			"Idempotency": string(c.effect), "KeyScope": "cell", "DedupWindowMs": ms(dedupWindow), "Worth": c.worth, "LateValue": 0.2})
		writes = append(writes, c.write)
	}
	mode := "ask"
	if o.PushDiscovery {
		mode = "push"
	}
	return json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", number), "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", o.Seed<<16+uint64(number+1)), "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"Siblings": o.siblings(), "SelfIndex": number, "TickMs": 2, "Discovery": mode, "Zones": []string{"a"},
			"Lanes": lanes,
			"Plans": []any{map[string]any{"Name": "basic", "UsualRate": 40.0, "Reservation": 20.0, "Shares": 1, "Pays": 1}},
			"Limits": map[string]any{"AttemptsCap": attemptsLimit, "MayDuplicate": true, "Cancel": true, "RetryAfter": true,
				"MaxRetryAfterMs": 500, "ConnIdleMs": ms(connIdle), "ConnectTimeoutMs": ms(connectLimit)},
			"Invariants": map[string]any{"GraceToAnswerMs": 8, "DrainGraceMs": ms(drainGrace), "AskWithinMs": ms(askWithin),
				"FallMs": ms(fallWindow), "FallMultiple": 2.5, "RampTimeMs": ms(rampTime), "StartCapacity": startCapacity},
			"FamilyInfo": map[string]any{"ClassWrites": writes, "MeanUnits": meanUnits, "MostUnits": mostUnits, "NShards": o.Shards,
				"FairWorth": 0.3, "IdleWorth": 0.05, "ColdBears": coldBears}}})
}
