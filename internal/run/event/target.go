package event

// Events of targets.
var (
	TargetEjected     = declare(4001, "TargetEjected", Warning, "A target failed repeatedly and is excluded for the time shown.")
	TargetReturned    = declare(4002, "TargetReturned", Info, "An ejected target is used again.")
	TargetDraining    = declare(4003, "TargetDraining", Info, "A target reports that it is draining; it gets no new requests.")
	TargetMismatch    = declare(4004, "TargetMismatch", Error, "A reply did not match its request and was discarded.")
	ConnectionStalled = declare(4005, "ConnectionStalled", Warning, "No bytes were received on a connection within its timeout; it was closed.")
	TargetLimitHalved = declare(4006, "TargetLimitHalved", Warning, "A target shed load; this instance halved its concurrency limit for the target.")
)
