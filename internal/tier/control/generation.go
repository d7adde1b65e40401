package control

// revisionBits is the number of bits of an ordered revision that hold the store's own revision.
const revisionBits = 44

// OrderRevision returns an ordered revision: one that also orders the revisions of a store that comes back from an older copy. Such a
// store gives out revisions again that it gave out before. It counts how often it has come back in its generation. An ordered revision
// is higher than all ordered revisions of earlier generations. Revision 0, which stands for none, stays 0.
func OrderRevision(generation, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}

	return generation<<revisionBits | revision
}

// isLaterGeneration reports whether an ordered revision is of a later generation than another one.
func isLaterGeneration(ordered, than uint64) bool {
	return ordered>>revisionBits > than>>revisionBits
}

// SplitRevision returns the generation and the store's own revision of an ordered revision.
func SplitRevision(ordered uint64) (generation, revision uint64) {
	return ordered >> revisionBits, ordered & (1<<revisionBits - 1)
}
