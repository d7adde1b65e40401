package event

// Events of requests.
var (
	RequestUnknown     = declare(5002, "RequestUnknown", Warning, "A request ended without an answer and may have been executed.")
	RequestDuplicate   = declare(5003, "RequestDuplicate", Warning, "A duplicate of a non-idempotent request was refused.")
	ClaimNotReleased   = declare(5004, "ClaimNotReleased", Warning, "The claim of a request that was not executed could not be deleted.")
	OverloadBegan      = declare(5005, "OverloadBegan", Warning, "Because of overload, admission control refuses requests by a worth threshold.")
	OverloadEnded      = declare(5006, "OverloadEnded", Info, "Admission control no longer applies a worth threshold.")
	SnapshotRestarted  = declare(5007, "SnapshotRestarted", Info, "A query was restarted on a newer snapshot because its index version was withdrawn.")
	SnapshotIncomplete = declare(5008, "SnapshotIncomplete", Warning, "No index version of a service has a usable replica for every shard.")
)
