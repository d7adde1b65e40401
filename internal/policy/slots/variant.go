package slots

// Variant determines how the limit of a target is set.
type Variant struct {
	name string
	// ceiling returns the highest limit for a target with the given slots, and start the first limit for a ceiling.
	ceiling func(slots int) int
	start   func(ceiling int) int
	// adaptive is true if the limit is halved on shedding and raised on success.
	adaptive bool
}

// String returns the name of v.
func (v Variant) String() string {
	return v.name
}

func identity(n int) int { return n }

// Owner lets this instance use all slots, because only it sends to the target.
func Owner() Variant {
	return Variant{name: "Owner", ceiling: identity, start: identity, adaptive: true}
}

// Split lets this instance use an equal share of the slots, at least one. instances returns the number of live instances.
func Split(instances func() int) Variant {
	return Variant{
		name:    "Split",
		ceiling: func(slots int) int { return max(1, slots/max(1, instances())) },
		start:   identity,
	}
}

// Adaptive lets each instance determine its limit by itself: the limit starts at 1, grows with each success and is halved when
// the target sheds a request.
func Adaptive() Variant {
	return Variant{name: "Adaptive", ceiling: identity, start: func(int) int { return 1 }, adaptive: true}
}
