package exchange

// Stats counts copies and exchanges since the store was created, and gives its present size.
type Stats struct {
	Copies          int // copies and blocks received
	Runs            int // runs started
	Joined          int // copies that waited with an earlier one
	ServedFromCache int // copies that got a retained response
	Reruns          int // runs of exchanges whose earlier run failed with no copy waiting

	Conflicts            int // copies with another content than their exchange
	Busy                 int // copies rejected because of the store's limits
	TooLate              int // copies rejected because the response could not arrive in time
	UnknownOutcomeFailed int // copies failed because an earlier one may have executed

	UploadsStarted int
	UploadsDropped int // uploads forgotten before they were complete
	Evicted        int // exchanges forgotten early because of the limits

	Exchanges   int // at present
	Running     int // at present: exchanges with an open run
	Devices     int // at present
	StoredBytes int // at present: of bodies and responses
	Undelivered int // at present: responses that were written to no connection yet
}
