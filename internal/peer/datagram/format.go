package datagram

// MaxSize is the maximum length of a datagram in bytes.
const MaxSize = 256

// Layout of the header and the checksum, in bytes. Offsets are relative to the start of a datagram.
const (
	magic   = "GR"
	version = 1

	versionOffset     = 2
	fromOffset        = 4
	incarnationOffset = 6
	seqOffset         = 10

	headerSize   = 18
	checksumSize = 8
	maxItemsSize = MaxSize - headerSize - checksumSize
)

// itemType is the type of an item, which is its first byte.
type itemType byte

const (
	itemMembershipMessage itemType = iota + 1
	itemMembershipUpdate
	itemQuotaMessage
	itemOutlierReport
	itemLatencyReport
)

// Sizes of the header and the bodies of items, in bytes. A received body may be longer.
const (
	itemHeaderSize = 2

	membershipMessageSize = 7
	membershipUpdateSize  = 17
	quotaMessageSize      = 21
	outlierReportSize     = 20
	latencyReportSize     = 12
)

// bodySizes holds the body size of each known item type in bytes. Type 0 is not used.
var bodySizes = [...]int{
	itemMembershipMessage: membershipMessageSize,
	itemMembershipUpdate:  membershipUpdateSize,
	itemQuotaMessage:      quotaMessageSize,
	itemOutlierReport:     outlierReportSize,
	itemLatencyReport:     latencyReportSize,
}

const (
	// latencyStepMs is the resolution of encoded latencies.
	latencyStepMs = 0.125
	// fixedPointOne is the fixed-point representation of the fraction 1.
	fixedPointOne = 1 << 31
)
