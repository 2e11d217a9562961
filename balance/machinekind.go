package balance

const (
	throughputSampleWeight = 0.01 // minimum weight of a response in the mean throughput of a kind
	throughputPriorSamples = 20.0 // weight of the initial throughput of 1, as a number of responses
	minKindThroughput      = 0.25 // lower bound of the throughput of a kind
	maxMachineKinds        = 64   // maximum number of kinds with own statistics; limits the memory and the work per response
	otherMachineKinds      = ""   // name of the kind that stands for all further kinds and for servers without a kind
)

// machineKind holds the statistics of the servers on one kind of machine. They predict the warm capacity of a
// server that has not been warm yet.
type machineKind struct {
	warm       int     // number of warm servers of the kind within the sampled subset
	throughput float64 // responses per warm server of this kind, divided by the responses per warm server of all kinds
	samples    float64 // number of responses from servers of all kinds that throughput is computed from
}

// machineKind returns the statistics of a kind. The statistics are kept when the last server of the kind is
// removed, since servers of the kind may return. Therefore the number of kinds is bounded: kinds beyond
// maxMachineKinds share the statistics of otherMachineKinds.
func (b *Balancer) machineKind(name string) *machineKind {
	kind := b.machineKinds[name]
	if kind != nil {
		return kind
	}
	if len(b.machineKinds) >= maxMachineKinds && name != otherMachineKinds {
		return b.machineKind(otherMachineKinds)
	}
	kind = &machineKind{throughput: 1}
	b.machineKinds[name] = kind
	return kind
}

// recordThroughput updates the throughput of all kinds with a response from a warm server. For the kind of this
// server, the sample is the inverse of the kind's share of the warm servers. For all other kinds, the sample is 0.
// The mean of the samples is thus 1 for each kind if all warm servers send equally many responses.
func (b *Balancer) recordThroughput(s *server) {
	own := b.machineKind(s.MachineKind)
	for _, kind := range b.machineKinds {
		if kind.warm == 0 {
			continue
		}
		sample := 0.0
		if kind == own {
			sample = float64(b.sampledWarmCount) / float64(kind.warm)
		}
		kind.samples++
		weight := max(throughputSampleWeight, 1/(throughputPriorSamples+kind.samples))
		kind.throughput += float64(weight * (sample - kind.throughput))
	}
}

// kindThroughput returns the throughput of the machine kind of s, limited to the range from minKindThroughput to 1.
// A kind that never had a warm server is assumed to be as slow as the slowest known kind.
func (b *Balancer) kindThroughput(s *server) float64 {
	if own := b.machineKind(s.MachineKind); own.samples > 0 {
		return min(1, max(minKindThroughput, own.throughput))
	}
	least := 1.0
	for _, kind := range b.machineKinds {
		least = min(least, kind.throughput)
	}
	return max(minKindThroughput, least)
}
