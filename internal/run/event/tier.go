package event

// Events of the query tier on the users' platform.
var (
	SettingsReloaded   = declare(1010, "SettingsReloaded", Info, "The settings file changed and was read again; Changed says whether anything differs.")
	SettingsRejected   = declare(1011, "SettingsRejected", Error, "The settings file cannot be used; the process waits or keeps the last good settings.")
	OwnValueRejected   = declare(1018, "OwnValueRejected", Warning, "A value that the instances keep in the store cannot be used; it counts as absent.")
	RegistrationFailed = declare(1014, "RegistrationFailed", Warning, "The instance could not register or renew its registration; it tries again.")
	LeadershipBegan    = declare(1015, "LeadershipBegan", Info, "This instance reads the targets' entries for the fleet.")
	LeadershipEnded    = declare(1016, "LeadershipEnded", Warning, "This instance no longer reads the targets' entries for the fleet.")

	NoticeFailed = declare(1017, "NoticeFailed", Warning, "A notice of the leader did not reach an instance.")

	LinesDropped = declare(1012, "LinesDropped", Warning, "Log lines were dropped because the output did not take them.")

	TargetFound     = declare(4010, "TargetFound", Info, "A target was registered.")
	TargetsChanged  = declare(4016, "TargetsChanged", Info, "Many targets were registered or are gone; they have no lines of their own.")
	TargetGone      = declare(4011, "TargetGone", Info, "The entry of a target is gone; the target gets no new requests.")
	TargetChanged   = declare(4012, "TargetChanged", Info, "The entry of a target changed its state.")
	TargetMoved     = declare(4013, "TargetMoved", Warning, "Another process answers at the address of a target.")
	TargetRejected  = declare(4014, "TargetRejected", Warning, "Entries name no target that can be used; the first fault is shown.")
	ResponseForeign = declare(4015, "ResponseForeign", Warning, "A response to another request arrived on a connection and was dropped.")
	HeadersRejected = declare(4017, "HeadersRejected", Warning, "Headers of a target's response could not be read and count as absent.")

	GathererFailed  = declare(5014, "GathererFailed", Warning, "A peer did not gather a query; another instance does.")
	RequestGathered = declare(5015, "RequestGathered", Info, "A query, or some of its shards, was gathered for a peer.")
	RequestAnswered = declare(5010, "RequestAnswered", Info, "A request was answered; the line shows what decided its end.")
	RequestRefused  = declare(5011, "RequestRefused", Warning, "A request was refused and has not run.")
	RequestFailed   = declare(5012, "RequestFailed", Warning, "A request ended without an answer and may have run.")
	RequestRejected = declare(5013, "RequestRejected", Warning, "A request is not allowed by the configuration or its limits.")
)
