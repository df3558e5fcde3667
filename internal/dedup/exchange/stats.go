package exchange

// Stats contains event counts since the creation of the store, and current sizes.
type Stats struct {
	Transmissions      int // received transmissions, including blocks
	Executions         int // started executions
	Joined             int // transmissions that joined an execution in progress
	ServedFromCache    int // transmissions that got a retained response
	RepeatedExecutions int // executions of exchanges whose previous execution failed while no transmission was waiting

	Conflicts            int // transmissions whose content differs from that of their exchange
	Busy                 int // transmissions rejected because of the limits of the store or a shutdown
	TooLate              int // transmissions rejected because the response could not arrive in time
	UnknownOutcomeFailed int // transmissions failed because an earlier one may have been executed

	UploadsStarted int
	UploadsDropped int // uploads removed before they were complete
	Evicted        int // exchanges removed early because of the limits

	Exchanges   int // current number of exchanges
	Running     int // current number of exchanges with an execution in progress
	Devices     int // current number of devices
	StoredBytes int // current size of stored bodies and responses
	Undelivered int // current number of stored responses that have not been written to a connection
}
