package faulttest

// Paths of the metrics server and the metrics that the tests read.
const (
	pathPeers    = "/_peers"
	pathMetrics  = "/metrics"
	pathVersions = "/_versions"

	metricRevision    = "pepperlead_rules_version"
	metricLeased      = "pepperlead_rules_leased"
	metricPacketsSent = "pepperlead_peers_packets_sent_total"
	metricBytesSent   = "pepperlead_peers_bytes_sent_total"
	metricCPUSeconds  = "process_cpu_seconds_total"
	metricDepartures  = "pepperlead_peers_gone_total"
)
