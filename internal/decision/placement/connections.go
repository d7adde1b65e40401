package placement

// connectionShare is the share of the connections accepted by a target that the fleet uses; the rest is for instances that start.
const connectionShare = 0.9

// Connections returns how many connections an instance may hold to a target that accepts the given number from all holders, and
// whether it may keep one open without a request. It answers a fleet with more instances than a target accepts connections from: if
// each of 300 instances kept one to a target that accepts 26, the target would reset them, and all would connect again without end.
func Connections(accepted, holders int) (n int, keep bool) {
	n = int(connectionShare*float64(accepted)) / max(holders, 1)

	return max(n, 1), n >= 1
}
