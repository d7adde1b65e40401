package event

// Events of clients outside the limits. A line counts the clients since the last one of the same event and address, at most one each second.
var (
	ClientHeadsRefused  = declare(7001, "ClientHeadsRefused", Warning, "Clients sent heads over the limit, or too many empty lines, and were refused with 431 or 400; Clients is their number.")
	ClientsTooSlow      = declare(7002, "ClientsTooSlow", Warning, "Clients did not complete a head or a message in time, or the body of a request that was answered; Clients is their number.")
	ClientMemoryFull    = declare(7003, "ClientMemoryFull", Warning, "Clients had sent more than there is memory for without a request being admitted; those with the most were refused, and Clients is their number.")
	ClientsFull         = declare(7004, "ClientsFull", Warning, "There were too many connections; those that had waited longest without a whole request were closed, and Clients is their number.")
	ClientAnswersUnread = declare(7005, "ClientAnswersUnread", Warning, "Clients did not read their answers in time, or too many answers were not read yet; Clients is the number of connections that were closed.")
)
