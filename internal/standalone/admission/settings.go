package admission

import "fmt"

// Time is a point in time or a duration, in microseconds.
type Time = int64

const second Time = 1_000_000

// Tenant is a customer of the service.
type Tenant struct {
	Name  string
	Share float64 // weight relative to the other tenants; 0: only capacity that no other tenant uses
	Rate  float64 // quota at this proxy, in requests per second; 0: no quota, all requests are within it
}

// Class is a class of requests.
type Class struct {
	Name          string
	Value         float64 // weight of a unit of its work, relative to the other classes of a tenant
	Work          Time    // expected work of a request without a hint, in microseconds on a standard core
	LatencyTarget Time    // a response within this time has the full value; 0: only the deadline counts
}

// Settings are set by operators in deploy/door.toml, which names the keys. The defaults are those of Defaults.
type Settings struct {
	Tenants []Tenant
	Classes []Class
	// OverQuotaFactor is the value of a request beyond its tenant's quota, as a fraction of its class's value; 0 to 1.
	// It comes from the deployment and not from the file.
	OverQuotaFactor float64

	// MaxQueued is the maximum number of queued requests in all; at least 1, 2048 by default.
	MaxQueued int
	// QueuesPerClass is the number of queues that the clients of one tenant and class share; at least 1, 32 by default.
	QueuesPerClass int
	// MinLimit and MaxLimit bound the concurrency limit, in requests of mean work; 4 and 4096 by default. Both are at
	// least 1; if they are equal, the limit is fixed.
	MinLimit, MaxLimit float64
	// InitialLimit is the concurrency limit before the first measurement; 64 by default.
	InitialLimit float64
	// RequiredTimeFactor is the fraction of its expected latency that a request must have left before its deadline when
	// it is admitted; with less it is rejected. 0: it is admitted up to its deadline. 0.8 by default.
	RequiredTimeFactor float64

	// RetryRatio is the number of retries that the clients of a tenant may send per first attempt; 0.3 by default. 0:
	// RetryBurst retries in total.
	RetryRatio float64
	// RetryBurst is the number of retries that they may send at once; 20 by default. Under 1: no retries.
	RetryBurst float64
	// MaxRetryAfter is the longest Retry-After; 2.5 s by default, at least reservationSlot (100 ms).
	MaxRetryAfter Time
	// SaltRotation is the time after which clients are assigned to other queues, so that no two clients share a queue
	// permanently; 10 s by default, at least 1 s.
	SaltRotation Time
	// Seed makes the assignment of clients to queues different at each proxy.
	Seed uint64
}

// Defaults returns settings for a proxy with some hundreds of requests per second, without Tenants and Classes.
func Defaults() Settings {
	return Settings{
		OverQuotaFactor:    0.1,
		MaxQueued:          2048,
		QueuesPerClass:     32,
		MinLimit:           4,
		MaxLimit:           4096,
		InitialLimit:       64,
		RequiredTimeFactor: 0.8,
		RetryRatio:         0.3,
		RetryBurst:         20,
		MaxRetryAfter:      2_500_000,
		SaltRotation:       10 * second,
	}
}

// Bounds of settings.
const (
	maxClasses        = 250
	maxTenants        = 100_000
	maxQueuedBound    = 1 << 20
	maxQueuesPerClass = 4096
	maxTimeFactor     = 10
	maxSetting        = 1e12 // upper bound of shares, rates, values and limits
	maxTime           = 3600 * second
)

// SettingError reports an invalid setting. Key is its name in the deployment file; for a tenant or class it is
// "tenants.N.field" or "classes.N.field", where N is the index in the settings.
type SettingError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// invalid returns a *SettingError.
func invalid(key, format string, args ...any) error {
	return &SettingError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// isAmount reports whether x is from 0 to maxSetting; NaN is not.
func isAmount(x float64) bool { return x >= 0 && x <= maxSetting }

// Check returns a *SettingError for the first invalid setting, or nil.
func (s *Settings) Check() error {
	if err := s.checkLimits(); err != nil {
		return err
	}
	if err := s.checkTenants(); err != nil {
		return err
	}
	return s.checkClasses()
}

// checkLimits checks the settings other than those of single tenants and classes.
func (s *Settings) checkLimits() error {
	switch {
	case len(s.Classes) == 0 || len(s.Classes) > maxClasses:
		return invalid("classes", "%d classes", len(s.Classes))
	case len(s.Tenants) == 0 || len(s.Tenants) > maxTenants:
		return invalid("tenants", "%d tenants", len(s.Tenants))
	case !(s.OverQuotaFactor >= 0 && s.OverQuotaFactor <= 1):
		return invalid("over_share", "%v is not within 0 and 1", s.OverQuotaFactor)
	case s.MaxQueued < 1 || s.MaxQueued > maxQueuedBound:
		return invalid("waiting", "%d is not within 1 and %d", s.MaxQueued, maxQueuedBound)
	case s.QueuesPerClass < 1 || s.QueuesPerClass > maxQueuesPerClass:
		return invalid("buckets", "%d is not within 1 and %d", s.QueuesPerClass, maxQueuesPerClass)
	case !(s.MinLimit >= 1 && isAmount(s.MinLimit)):
		return invalid("least", "%v is under 1", s.MinLimit)
	case !(s.MaxLimit >= s.MinLimit && isAmount(s.MaxLimit)):
		return invalid("most", "%v is under least", s.MaxLimit)
	case !(s.InitialLimit >= s.MinLimit && s.InitialLimit <= s.MaxLimit):
		return invalid("start", "%v is not within least and most", s.InitialLimit)
	case !isAmount(s.RequiredTimeFactor) || s.RequiredTimeFactor > maxTimeFactor:
		return invalid("patience", "%v is not within 0 and %d", s.RequiredTimeFactor, maxTimeFactor)
	case !isAmount(s.RetryRatio):
		return invalid("repeats", "%v is no share", s.RetryRatio)
	case !isAmount(s.RetryBurst):
		return invalid("repeat_burst", "%v is no number of requests", s.RetryBurst)
	case s.MaxRetryAfter < reservationSlot || s.MaxRetryAfter > maxTime:
		return invalid("max_come_back", "it is not within 100ms and 1h")
	case s.SaltRotation < second:
		return invalid("rotate", "it is under 1s")
	}
	return nil
}

func (s *Settings) checkTenants() error {
	for i, t := range s.Tenants {
		if !isAmount(t.Share) {
			return invalid(fmt.Sprintf("tenants.%d.share", i), "%v is no share", t.Share)
		}
		if !isAmount(t.Rate) {
			return invalid(fmt.Sprintf("tenants.%d.rate", i), "%v is no rate", t.Rate)
		}
	}
	return nil
}

func (s *Settings) checkClasses() error {
	for i, c := range s.Classes {
		if !isAmount(c.Value) {
			return invalid(fmt.Sprintf("classes.%d.worth", i), "%v is no worth", c.Value)
		}
		if c.Work < 1 || c.Work > maxTime {
			return invalid(fmt.Sprintf("classes.%d.work", i), "it is not within 1us and 1h")
		}
		if c.LatencyTarget < 0 || c.LatencyTarget > maxTime {
			return invalid(fmt.Sprintf("classes.%d.aim", i), "it is not within 0 and 1h")
		}
	}
	return nil
}
