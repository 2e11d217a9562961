package balance

import "slices"

const (
	tenantSampleWeight = 0.02 // weight of a request in the tenants' shares
	tenantPrior        = 0.2  // weight of the agreed shares against the observed ones
	quotaSlack         = 1.3  // how many times its fair share a tenant may send
)

// setTenants stores the tenants; those with a quota begin at their fair share.
func (b *Balancer) setTenants(tenants []Tenant) {
	b.settings.Tenants, b.quotaSum = slices.Clone(tenants), 0
	clear(b.tenantIndex)
	for i, t := range b.settings.Tenants {
		if t.Quota > 0 {
			b.tenantIndex[t.Name] = i
			b.quotaSum += t.Quota
		}
	}
	if len(b.tenantIndex) < 2 {
		clear(b.tenantIndex)
	}
	b.tenantShares = make([]float64, len(b.settings.Tenants))
	for _, i := range b.tenantIndex {
		b.tenantShares[i] = b.settings.Tenants[i].Quota / b.quotaSum
	}
}

// quotaExcess counts a request for its tenant and returns how many times its fair
// share of this balancer's traffic the tenant sends, against the others and their
// quotas. While servers are scarce, requests above the share have little value and
// displace those of others. Retries of clients are not counted.
func (b *Balancer) quotaExcess(r *request) float64 {
	at, known := b.tenantIndex[r.Tenant]
	if !known || b.settings.QuotaExcessWeight >= 1 {
		return 1
	}
	if !r.IsRetry {
		for i := range b.tenantShares {
			b.tenantShares[i] *= 1 - tenantSampleWeight
		}
		b.tenantShares[at] += tenantSampleWeight
	}
	quota := b.settings.Tenants[at].Quota / b.quotaSum
	own := b.tenantShares[at] + tenantPrior*quota
	others := 1 + tenantPrior - own
	return own / quota * (1 - quota) / others / quotaSlack
}
