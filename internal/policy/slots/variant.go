package slots

// Variant says how the limit of a target is found.
type Variant struct {
	name string
	// ceiling is the highest limit for a target with these slots, and start the first limit below a ceiling.
	ceiling func(slots int) int
	start   func(ceiling int) int
	// adapts says whether shedding and success move the limit.
	adapts bool
}

// String returns the name of v.
func (v Variant) String() string {
	return v.name
}

func all(n int) int { return n }

// Owner gives all slots to this instance, because it alone sends to the target.
func Owner() Variant {
	return Variant{name: "Owner", ceiling: all, start: all, adapts: true}
}

// Split gives this instance an equal part of the slots and at least one. instances returns the number of live instances.
func Split(instances func() int) Variant {
	return Variant{
		name:    "Split",
		ceiling: func(slots int) int { return max(1, slots/max(1, instances())) },
		start:   all,
	}
}

// Adaptive lets each instance find its part by itself: it starts at 1, adds a step on success and halves on shedding.
func Adaptive() Variant {
	return Variant{name: "Adaptive", ceiling: all, start: func(int) int { return 1 }, adapts: true}
}
