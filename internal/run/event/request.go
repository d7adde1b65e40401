package event

// Events of requests.
var (
	RequestUnknown     = declare(5002, "RequestUnknown", Warning, "A request ended without an answer and may have run.")
	RequestDuplicate   = declare(5003, "RequestDuplicate", Warning, "A copy of a non-idempotent request was refused.")
	ClaimNotReleased   = declare(5004, "ClaimNotReleased", Warning, "The claim of a request that did not run could not be deleted.")
	OverloadBegan      = declare(5005, "OverloadBegan", Warning, "A worth threshold is in force for admission.")
	OverloadEnded      = declare(5006, "OverloadEnded", Info, "Admission no longer applies a worth threshold.")
	SnapshotRestarted  = declare(5007, "SnapshotRestarted", Info, "A query was restarted on a newer snapshot because its version was withdrawn.")
	SnapshotIncomplete = declare(5008, "SnapshotIncomplete", Warning, "No index version of a service has a usable replica for every shard.")
)
