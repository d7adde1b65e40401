package event

// Events of targets.
var (
	TargetEjected     = declare(4001, "TargetEjected", Warning, "A target failed repeatedly and is left out for the time shown.")
	TargetReturned    = declare(4002, "TargetReturned", Info, "An ejected target is used again.")
	TargetDraining    = declare(4003, "TargetDraining", Info, "A target reports that it drains and gets no new work.")
	TargetMismatch    = declare(4004, "TargetMismatch", Error, "A reply did not match its request and was discarded.")
	ConnectionStalled = declare(4005, "ConnectionStalled", Warning, "A connection gave no bytes within its timeout and was closed.")
	TargetLimitHalved = declare(4006, "TargetLimitHalved", Warning, "A target shed load and its owner halved its limit.")
)
