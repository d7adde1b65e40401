package event

// Events of the membership of the fleet.
var (
	MemberJoined   = declare(3001, "MemberJoined", Info, "An instance was added to the members.")
	MemberSuspect  = declare(3002, "MemberSuspect", Warning, "An instance did not answer probes and is suspected to have failed.")
	MemberFailed   = declare(3003, "MemberFailed", Warning, "A suspected instance did not refute in time and is no longer used.")
	MemberLeft     = declare(3004, "MemberLeft", Info, "An instance announced that it leaves.")
	MemberRefuting = declare(3005, "MemberRefuting", Info, "This instance was suspected and raises its incarnation.")
	MembersFull    = declare(3006, "MembersFull", Warning, "The member table is at its bound; the instance shown is not added.")
	JoinFailed     = declare(3007, "JoinFailed", Warning, "No seed answered; the instance tries again.")
)
