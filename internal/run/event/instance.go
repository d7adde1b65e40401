package event

// Events of an instance's life.
var (
	InstanceStarting = declare(1001, "InstanceStarting", Info, "An instance starts with the settings shown.")
	InstanceReady    = declare(1002, "InstanceReady", Info, "The instance has a configuration and reports ready to the balancer.")
	InstanceNotReady = declare(1003, "InstanceNotReady", Warning, "The instance reports not ready; Reason says why.")
	InstanceStopping = declare(1004, "InstanceStopping", Info, "A graceful stop has begun; requests in flight are finished.")
	InstanceStopped  = declare(1005, "InstanceStopped", Info, "The instance has stopped; InFlight counts requests cut at the bound.")
	InstancePaused   = declare(1006, "InstancePaused", Warning, "The process did not run for the time shown; what it knew is refreshed.")
	LibraryMessage   = declare(1008, "LibraryMessage", Warning, "A library wrote a line to the standard log; Text is its start.")
	ServiceFailed    = declare(1007, "ServiceFailed", Error, "A supervised part of the instance failed and is restarted.")
)
