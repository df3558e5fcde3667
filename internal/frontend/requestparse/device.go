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

// Prefixes of the keys of exchanges. A key identifies an exchange among the exchanges of one device. The prefix keeps the keys of
// reads and writes distinct.
const (
	readKeyPrefix  = "r\x00"
	writeKeyPrefix = "w\x00"
)

// serverKeyBytes is the number of bytes of a digest that form the idempotency key that is sent to servers.
const serverKeyBytes = 16

// DeviceFields are the values that belong to one transmission of a device's request, in addition to Fields.
type DeviceFields struct {
	DeviceID        string
	ReadID          string               // identifies the exchange of a read, which has no idempotency key
	AgeMs           float64              // time since the device first sent the request; negative if unknown
	PreviousGateway string               // id of the gateway that received the earlier transmissions; empty if unknown
	Link            lifecycle.LinkSample // measurements of the device's link that are reported with this transmission
}

// MakeDeviceRequest turns a parsed request into a transmission of a device's exchange by setting request.Device. The caller
// sets the body of request.Device. payload is the request that is sent to servers: each execution of the exchange sends a
// clone of payload that has a header and a body of its own. A request belongs to the same exchange whichever frontend received it.
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
			return executionPayload(payload, id, serverKey, body)
		},
	}
	return nil
}

// exchangeKey returns the key that a device has chosen for an exchange: the idempotency key of a write, or the id of a read.
func exchangeKey(class *scheduler.Class, fields Fields, device DeviceFields) (string, error) {
	key := fields.IdempotencyKey
	if class.Idempotency == scheduler.Idempotent {
		key = device.ReadID
	} else if key == "" { // without a key, a repeated transmission could be executed again
		return "", fmt.Errorf("class %s needs an Idempotency-Key from a device", class.Name)
	}
	if !IsIdentifier(key) {
		return "", errors.New("the request's id is missing, too long or not plain text")
	}
	return key, nil
}

// headDigest returns the digest of a request without its body. All transmissions of an exchange have the same digest.
func headDigest(request *lifecycle.Request, fields Fields, payload *httpmessage.Request) [sha256.Size]byte {
	var head []byte
	for _, part := range []string{payload.Method, payload.Path, payload.RawPath, payload.RawQuery, fields.Class, fields.Plan,
		payload.Header.Get("Content-Type")} {
		head = fmt.Appendf(head, "%d:%s", len(part), part)
	}
	head = fmt.Appendf(head, "%x %v %d", request.Volume, request.Units, request.Shard)
	return sha256.Sum256(head)
}

// serverIdempotencyKey returns the idempotency key that is sent to servers for an exchange. It depends on the device, because
// servers recognize repeated requests by this key alone, and two devices may choose the same key.
func serverIdempotencyKey(deviceID, key string) string {
	digest := sha256.Sum256([]byte(deviceID + "\x00" + key))
	return hex.EncodeToString(digest[:serverKeyBytes])
}

// executionPayload returns the request that is sent to servers for one execution of an exchange. id identifies the execution to
// servers. serverKey is empty for a read.
func executionPayload(payload *httpmessage.Request, id, serverKey string, body []byte) *httpmessage.Request {
	clone := *payload
	clone.Header = payload.Header.Clone()
	clone.Header.Set("X-Correlation-Id", id)
	if serverKey != "" {
		clone.Header.Set("Idempotency-Key", serverKey)
	}
	clone.Body = body
	return &clone
}
