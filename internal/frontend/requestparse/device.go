package requestparse

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// The exchanges of one device are named by their keys. The prefixes keep reads and writes apart.
const (
	readKeyPrefix  = "r\x00"
	writeKeyPrefix = "w\x00"
)

// serverKeyBytes is how much of a digest becomes the idempotency key that servers get.
const serverKeyBytes = 16

// DeviceFields are what a device says about one copy of a request, beside Fields.
type DeviceFields struct {
	DeviceID        string
	ReadID          string               // names the exchange of a read, which has no idempotency key
	AgeMs           float64              // since the device first sent the request; below zero: unknown
	PreviousGateway string               // the gateway that the device sent earlier copies to; empty: unknown
	Link            lifecycle.LinkSample // what this copy measured of the device's link
}

// MakeDeviceRequest makes a parsed request a copy of an exchange of a device. payload is the request to servers; each run of
// the exchange gets a copy of it with its own header and body. The same request belongs to the same exchange whichever
// frontend it arrived over. The caller sets the body of request.Device.
func MakeDeviceRequest(request *lifecycle.Request, class *scheduler.Class, fields Fields, device DeviceFields, payload *httpmessage.Request) error {
	if !IsIdentifier(device.DeviceID) {
		return errors.New("the device's name is missing, too long or not plain text")
	}
	key, err := exchangeKey(class, fields, device)
	if err != nil {
		return err
	}
	isRead := class.Idempotency == scheduler.Idempotent
	if isRead != (fields.Method == http.MethodGet) {
		return fmt.Errorf("class %s does not go with this method", class.Name)
	}
	prefix, serverKey := readKeyPrefix, ""
	if !isRead {
		prefix, serverKey = writeKeyPrefix, serverIdempotencyKey(device.DeviceID, key)
	}
	request.ClientID = ""
	request.Device = &lifecycle.DeviceRequest{
		ID:              device.DeviceID,
		Key:             prefix + key,
		HeadDigest:      headDigest(request, fields, payload),
		AgeMs:           device.AgeMs,
		PreviousGateway: device.PreviousGateway,
		Link:            device.Link,
		BuildPayload: func(id string, body []byte) any {
			return runPayload(payload, id, serverKey, body)
		},
	}
	return nil
}

// exchangeKey returns the key by which a device names an exchange.
func exchangeKey(class *scheduler.Class, fields Fields, device DeviceFields) (string, error) {
	key := fields.IdempotencyKey
	if class.Idempotency == scheduler.Idempotent {
		key = device.ReadID
	} else if key == "" { // the class must not be executed twice
		return "", fmt.Errorf("class %s needs an Idempotency-Key from a device", class.Name)
	}
	if !IsIdentifier(key) {
		return "", errors.New("the request's id is missing, too long or not plain text")
	}
	return key, nil
}

// headDigest returns the digest of a request without its body. Copies of one exchange have the same.
func headDigest(request *lifecycle.Request, fields Fields, payload *httpmessage.Request) [sha256.Size]byte {
	var head []byte
	for _, part := range []string{payload.Method, payload.Path, payload.RawPath, payload.RawQuery, fields.Class, fields.Plan,
		payload.Header.Get("Content-Type")} {
		head = fmt.Appendf(head, "%d:%s", len(part), part)
	}
	head = fmt.Appendf(head, "%x %v %d", request.Volume, request.Units, request.Shard)
	return sha256.Sum256(head)
}

// serverIdempotencyKey returns the idempotency key of an exchange at servers. They recognize repeats by this key alone, and
// two devices may well choose the same one.
func serverIdempotencyKey(deviceID, key string) string {
	digest := sha256.Sum256([]byte(deviceID + "\x00" + key))
	return hex.EncodeToString(digest[:serverKeyBytes])
}

// runPayload returns the request to servers for one run of an exchange, which servers know by the id of the run. serverKey is
// empty for a read.
func runPayload(payload *httpmessage.Request, id, serverKey string, body []byte) *httpmessage.Request {
	run := *payload
	run.Header = payload.Header.Clone()
	run.Header.Set("X-Correlation-Id", id)
	if serverKey != "" {
		run.Header.Set("Idempotency-Key", serverKey)
	}
	run.Body = body
	return &run
}
