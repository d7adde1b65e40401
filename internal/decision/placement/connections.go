package placement

// usedFraction is the fraction of the connections accepted by a target that the fleet uses. The rest is left to instances that
// are starting.
const usedFraction = 0.9

// Connections returns how many connections an instance may open to a target, and whether it may keep them open while idle.
// accepted is the number of connections that the target accepts in total, and holders the number of instances that share them.
//
// If a fleet has more instances than a target accepts connections, idle connections must be closed. If each of 300 instances kept
// one open to a target that accepts 26, the target would reset them and the instances would reconnect endlessly.
func Connections(accepted, holders int) (n int, keepIdle bool) {
	n = int(usedFraction*float64(accepted)) / max(holders, 1)

	return max(n, 1), n >= 1
}
