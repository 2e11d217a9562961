package balance

import "slices"

const (
	tenantSampleWeight = 0.02 // weight of one request in the tenants' observed shares
	tenantPriorWeight  = 0.2  // weight of the quota shares relative to the observed shares
	quotaSlack         = 1.3  // multiple of its fair share that a tenant may send
)

// setTenants stores the tenants. The observed share of a tenant with a quota starts at the quota's share of all
// quotas.
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

// quotaExcess counts a request for its tenant. It then computes the ratio of the tenant's traffic to the traffic of
// the other tenants at this balancer, and returns this ratio as a multiple of the ratio that the quotas allow. A
// result above 1 means that the tenant sends too much. While capacity is scarce, the tenant's excess requests have
// little value and displace requests of other tenants. Retries by clients are not counted.
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
	own := b.tenantShares[at] + float64(tenantPriorWeight*quota)
	others := 1 + tenantPriorWeight - own
	return own / quota * (1 - quota) / others / quotaSlack
}
