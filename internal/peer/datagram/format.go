package datagram

// MaxSize is the length of the longest datagram in bytes.
const MaxSize = 256

// The header and the checksum. Offsets are from the start of a datagram.
const (
	magic   = "GR"
	version = 1

	versionOffset     = 2
	fromOffset        = 4
	incarnationOffset = 6
	numberOffset      = 10

	headerSize   = 18
	checksumSize = 8
	maxItemsSize = MaxSize - headerSize - checksumSize
)

// itemType is the first byte of an item.
type itemType byte

const (
	itemMembershipMessage itemType = iota + 1
	itemMembershipUpdate
	itemQuotaMessage
	itemOutlierReport
	itemLatencyReport
)

// Sizes of items and their bodies. A received body may be longer.
const (
	itemHeaderSize = 2

	membershipMessageSize = 7
	membershipUpdateSize  = 17
	quotaMessageSize      = 21
	outlierReportSize     = 20
	latencyReportSize     = 12
)

// bodySizes holds the body size of each known item type, and 0 for type 0, which is not used.
var bodySizes = [...]int{
	itemMembershipMessage: membershipMessageSize,
	itemMembershipUpdate:  membershipUpdateSize,
	itemQuotaMessage:      quotaMessageSize,
	itemOutlierReport:     outlierReportSize,
	itemLatencyReport:     latencyReportSize,
}

const (
	// latencyStepMs is the resolution of latencies.
	latencyStepMs = 0.125
	// fixedPointOne is the fixed-point representation of the fraction 1.
	fixedPointOne = 1 << 31
)
