package event

// Events of the membership of the fleet.
var (
	MemberJoined   = declare(3001, "MemberJoined", Info, "An instance was added to the member table.")
	MemberSuspect  = declare(3002, "MemberSuspect", Warning, "An instance did not answer probes and is suspected to have failed.")
	MemberFailed   = declare(3003, "MemberFailed", Warning, "A suspected instance did not refute the suspicion in time and is no longer used.")
	MemberLeft     = declare(3004, "MemberLeft", Info, "An instance announced that it is leaving.")
	MemberRefuting = declare(3005, "MemberRefuting", Info, "Another instance reported this instance in the state shown; this instance refutes the report with a higher incarnation.")
	MembersFull    = declare(3006, "MembersFull", Warning, "The member table is full; the instance shown was not added.")
	JoinFailed     = declare(3007, "JoinFailed", Warning, "No seed answered; the instance retries.")
)
