package event

// Events of the quotas of client accounts.
var (
	AccountLimited     = declare(5025, "AccountLimited", Warning, "An account has nearly used its quota; instances ask this one, the owner of its ledger, for each of its requests.")
	AccountUnlimited   = declare(5026, "AccountUnlimited", Info, "An account is far below its quota again; instances admit its requests at once.")
	QuotaOwnerLost     = declare(5027, "QuotaOwnerLost", Warning, "Neither the owner nor the backup of a group of accounts answers; this instance admits its own share of their quotas.")
	QuotaOwnerReturned = declare(5028, "QuotaOwnerReturned", Info, "The owner or the backup of a group of accounts answers again.")
	QuotaOwnerChanged  = declare(5029, "QuotaOwnerChanged", Info, "Quotas came into force, or this instance became or is no longer the owner of groups of accounts; Groups is the number of groups whose ledgers it keeps.")
)
