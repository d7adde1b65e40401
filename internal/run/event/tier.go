package event

// Events of the query tier on the users' platform.
var (
	SettingsReloaded   = declare(1010, "SettingsReloaded", Info, "The settings file was read again; Changed says whether a setting differs.")
	SettingsRejected   = declare(1011, "SettingsRejected", Error, "The settings file is unusable; the process waits, or keeps the last valid settings.")
	OwnValueRejected   = declare(1018, "OwnValueRejected", Warning, "A value that an instance stored cannot be decoded; it is treated as absent.")
	WriteRejected      = declare(1022, "WriteRejected", Warning, "The store rejects a change; it is left out, the others are written, and it is tried again after a minute.")
	RegistrationFailed = declare(1014, "RegistrationFailed", Warning, "The registration could not be written, renewed or ended; the instance retries.")
	LeadershipBegan    = declare(1015, "LeadershipBegan", Info, "This instance is now the leader, which reads the targets' entries for the fleet.")
	LeadershipEnded    = declare(1016, "LeadershipEnded", Warning, "This instance is no longer the leader, which reads the targets' entries for the fleet.")

	LeaderFollowed = declare(1019, "LeaderFollowed", Info, "This instance follows the leader, which passes the state of the fleet on to it.")
	LeaderLost     = declare(1020, "LeaderLost", Warning, "The session with the leader has ended; the last state stays in use until a leader is followed again.")

	StoreRestored = declare(1021, "StoreRestored", Warning, "The store has come back from an older copy; what the instance had stored is checked and written again.")

	NoticeFailed = declare(1017, "NoticeFailed", Warning, "A notice from the leader could not be delivered to an instance, or a report of this instance to the leader.")

	LinesDropped = declare(1012, "LinesDropped", Warning, "Log lines were dropped because of their rate or a slow output; Lines is their number.")

	TargetFound     = declare(4010, "TargetFound", Info, "A target was registered.")
	TargetsChanged  = declare(4016, "TargetsChanged", Info, "Many targets were added or removed at once; they are not logged one by one.")
	TargetGone      = declare(4011, "TargetGone", Info, "The entry of a target was removed or replaced; the target gets no new requests.")
	TargetChanged   = declare(4012, "TargetChanged", Info, "The state in the entry of a target changed.")
	TargetMoved     = declare(4013, "TargetMoved", Warning, "A different process answers at the address of a target.")
	TargetRejected  = declare(4014, "TargetRejected", Warning, "Entries do not describe a usable target; Error is the first fault.")
	ResponseForeign = declare(4015, "ResponseForeign", Warning, "A response to a different request arrived on a connection and was discarded.")
	HeadersRejected = declare(4017, "HeadersRejected", Warning, "Headers of a target's response are invalid and are treated as absent.")
	TargetLimited   = declare(4018, "TargetLimited", Warning, "A target names a limit for the requests a second of all instances; Requests is the number of requests that this instance sent to it before.")
	TargetUnlimited = declare(4019, "TargetUnlimited", Info, "A target names no limit any more; Requests is the number of requests that this instance sent to it meanwhile.")

	TargetsUnconfirmed = declare(4020, "TargetsUnconfirmed", Warning, "No leader has passed on the registry of targets for most of the drain bound; this instance reads it itself.")

	TargetsRetained = declare(4024, "TargetsRetained", Info, "Targets whose entries are missing stay in use for some seconds, because the entries may have expired in an outage of the store; Targets is their number, Expired that of those for which an instance has seen an outage, and RegisteredAt when the registry had them last.")

	ZonesEvacuated = declare(4030, "ZonesEvacuated", Warning, "The availability zones whose targets get no requests have changed; Zones lists them all.")
	ZonesKept      = declare(4032, "ZonesKept", Warning, "The store has come back from an older copy; the zones that it lacks stay evacuated for some seconds, until the operators have written them again.")
	TargetCold     = declare(4033, "TargetCold", Info, "A target has become cold again without a restart; all instances together send it at most PerSecond requests a second for the time in For.")
	ZoneReturned   = declare(4031, "ZoneReturned", Info, "The evacuation of an availability zone has ended; where cold targets are limited, its targets count as cold for some time.")

	TargetsUnreachable = declare(4025, "TargetsUnreachable", Warning, "This instance has lost connectivity to all targets: none accepts a connection (NoNewConnections), or none answers on any (Unreachable). Failures is the number of targets that have failed since one accepted a connection, and SinceHeard the time since any has answered.")
	TargetsReachable   = declare(4026, "TargetsReachable", Info, "This instance reaches targets again.")

	TargetAway    = declare(4023, "TargetAway", Warning, "A target has refused a request and wants none of this instance for the time in For.")
	TargetLeaving = declare(4022, "TargetLeaving", Info, "A target says in its response that its process leaves; it gets no new requests, whatever its entry says.")
	TargetCrashed = declare(4021, "TargetCrashed", Warning, "The process of a target ended while it had a request that no target has answered; Query is the same for all requests that ask the same, and Blocked says whether they are refused from now on.")
	QueryCleared  = declare(5016, "QueryCleared", Info, "A target has answered a query that was suspected of crashing targets.")

	RegionUnavailable = declare(5033, "RegionUnavailable", Warning, "A request was refused because too few of its shards have a target in the regions that its route and its account allow; Regions lists them.")

	GathererFailed   = declare(5014, "GathererFailed", Warning, "A peer failed to gather a query; another instance gathers it.")
	RequestGathered  = declare(5015, "RequestGathered", Info, "This instance gathered a query, or some of its shards, for a peer.")
	RequestForwarded = declare(5017, "RequestForwarded", Info, "This instance sent a request to a target for a peer that has no connectivity to the targets.")
	ForwarderFailed  = declare(5018, "ForwarderFailed", Warning, "A peer failed to send a request to a target for this instance, which has no connectivity to the targets.")

	RequestAnswered = declare(5010, "RequestAnswered", Info, "A request was answered; the line shows what determined its result.")
	RequestRefused  = declare(5011, "RequestRefused", Warning, "A request was refused and was not executed.")
	RequestFailed   = declare(5012, "RequestFailed", Warning, "A request ended without an answer and may have been executed.")
	RequestRejected = declare(5013, "RequestRejected", Warning, "A request was rejected because the configuration or its limits do not allow it.")

	KeyRejected           = declare(5020, "KeyRejected", Warning, "A request was answered with 401 because its API key is missing, malformed, repeated or unknown; Version is that of the configuration that said so.")
	QuotaExceeded         = declare(5021, "QuotaExceeded", Warning, "A request was answered with 429 because its client account has sent more requests than its quota allows.")
	RevocationUnconfirmed = declare(5022, "RevocationUnconfirmed", Warning, "Requests with a valid key are refused, because the configuration was not confirmed for so long that the key may have been revoked.")
	RevocationConfirmed   = declare(5023, "RevocationConfirmed", Info, "Requests with a valid key are served again, because the configuration was confirmed.")
	AccountsChanged       = declare(5024, "AccountsChanged", Info, "A configuration with other client accounts or keys is in force; Added and Withdrawn are the numbers of keys, and Names are some of the accounts.")
)
