package event

// Events of the platform's services.
var (
	StoreUnavailable = declare(6001, "StoreUnavailable", Warning, "The platform's store does not answer; the configuration in force stays in use.")
	StoreReturned    = declare(6002, "StoreReturned", Info, "The platform's store answers again.")
	ListUnavailable  = declare(6003, "ListUnavailable", Warning, "The platform's list cannot be read; the last list that was read stays in use.")
	StandInListening = declare(6004, "StandInListening", Info, "A stand-in for the platform listens at the address shown.")
)
