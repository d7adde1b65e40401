package event

// Events of the life cycle of an instance.
var (
	InstanceStarting = declare(1001, "InstanceStarting", Info, "An instance starts with the settings shown.")
	InstanceReady    = declare(1002, "InstanceReady", Info, "The instance has a configuration and reports to the load balancer that it is ready.")
	InstanceNotReady = declare(1003, "InstanceNotReady", Warning, "The instance reports that it is not ready; Reason says why.")
	InstanceStopping = declare(1004, "InstanceStopping", Info, "A graceful stop has begun; requests in flight are completed first.")
	InstanceStopped  = declare(1005, "InstanceStopped", Info, "The instance has stopped; InFlight is the number of requests aborted at the stop timeout.")
	InstancePaused   = declare(1006, "InstancePaused", Warning, "The process did not run for the time in Gap; state received from other processes is refreshed.")
	PanicRecovered   = declare(1009, "PanicRecovered", Error, "Handling one request or message failed unexpectedly; it ends, and the process goes on. Stack is where.")
	LibraryMessage   = declare(1008, "LibraryMessage", Warning, "A library wrote a message to the standard logger; Text is its start.")
	ServiceFailed    = declare(1007, "ServiceFailed", Error, "A supervised component of the instance failed and is restarted.")
)
