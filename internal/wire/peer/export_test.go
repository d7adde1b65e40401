package peer

// Messages returns one empty message of each kind, for the fuzz target.
func Messages() []any {
	return []any{
		&hello{}, &relayRequest{}, &relayReply{}, &ping{}, &ack{}, &pingRequest{}, &syncRequest{}, &syncReply{},
		&configurationRequest{}, &configurationReply{}, &record{}, &done{}, &listing{},
		&compareRequest{}, &Comparison{}, &reportsRequest{}, &reportsReply{},
	}
}

// Unpack expands a compressed record.
var Unpack = unpack

// Encode and Decode are those of the drpc encoding.
var (
	Encode = encoding{}.Marshal
	Decode = encoding{}.Unmarshal
)
