package peer

// Names of the counters of a Service.
const (
	counterDatagramsReceived  = "fleet_datagrams_received"
	counterDatagramsInvalid   = "fleet_datagrams_invalid"
	counterDatagramsDuplicate = "fleet_datagrams_duplicate"
	counterInboxFull          = "fleet_datagrams_inbox_full"
	counterMemberChanges      = "fleet_member_changes"
	counterOutlierReports     = "fleet_outlier_reports"
	counterServersEjected     = "fleet_servers_ejected"
	counterQuotaChanges       = "fleet_quota_changes"
)
