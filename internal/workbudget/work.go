package workbudget

import "math"

// Work is an estimate of processor time in microseconds.
type Work float64

// Work of the steps that clients cause.
const (
	// Connection is the work of accepting and closing a connection.
	Connection Work = 60
	// Read is the work of reading bytes once, however few, without the bytes themselves.
	Read Work = 5
	// Request is the work of parsing a request or a message and answering it without the event loop.
	Request Work = 20
	// Submission is the work of passing a request through the event loop, without attempts.
	Submission Work = 50
	// Report is the work of writing a page of metrics.
	Report Work = 100
	// perKiB is the work of copying bytes from or to a connection.
	perKiB Work = 0.5
	// perUnwantedKiB is the work of reading bytes that a client should not have sent yet. They may come in very small segments, each of
	// which costs the system about as much as a large one.
	perUnwantedKiB Work = 8
)

const bytesPerKiB = 1 << 10

// Bytes returns the work of copying bytes from or to a connection.
func Bytes(n int) Work { return Work(n) * perKiB / bytesPerKiB }

// UnwantedBytes returns the work of reading bytes that a client should not have sent yet.
func UnwantedBytes(n int) Work { return Work(n) * perUnwantedKiB / bytesPerKiB }

// usageDecayMs is the time in which work that was counted decays to 1/e of its amount.
const usageDecayMs = 1000

// usage is work that decays.
type usage struct {
	work Work // at atMs
	atMs float64
}

// at returns the work that is left at nowMs.
func (u *usage) at(nowMs float64) Work {
	return u.work * Work(math.Exp(-max(0, nowMs-u.atMs)/usageDecayMs))
}

// add adds work at nowMs.
func (u *usage) add(work Work, nowMs float64) { u.work, u.atMs = u.at(nowMs)+work, nowMs }
