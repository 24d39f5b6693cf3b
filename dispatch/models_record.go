package dispatch

import (
	"encoding/json"
	"time"
)

// storedModels is what an owner stores of its models and of the demand of short tasks for the
// next owner: some kilobytes. Of the covariances only the variances are stored.
type storedModels struct {
	// Pairs are the coefficients by serving image and fill image.
	Pairs map[string]map[string]storedCoefficient `json:"pairs,omitempty"`
	Times []storedRunTime                         `json:"times,omitempty"`
	Short []storedDemand                          `json:"short,omitempty"`
}

// storedDemand is the demand of the short tasks of a service, in thousandths of a core.
type storedDemand struct {
	Service  string  `json:"service"`
	Peak     float64 `json:"peak"`
	Demand   float64 `json:"demand"`
	Piece    float64 `json:"piece"`
	Priority int     `json:"priority"`
}

// storedCoefficient is a coefficient of the interference model and its variance.
type storedCoefficient struct {
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// storedRunTime is the average of the logarithms of the run times of a queue's tasks of one image.
type storedRunTime struct {
	Queue string  `json:"queue"`
	Image string  `json:"image,omitempty"`
	N     int     `json:"n"`
	Log   float64 `json:"log"`
}

// Parameters of the stored models.
const (
	// modelsPause is the minimum time between two records of the models.
	modelsPause = 3 * time.Second
	// loadedVarianceFactor widens a variance that is loaded, for what has changed
	// since and for the covariances that are not stored.
	loadedVarianceFactor = 2
)

// ModelsDue reports whether the models should be recorded again.
func (c *Core) ModelsDue(now Instant) bool {
	return (len(c.model.images) > 0 || c.reservesCapacity()) && now.Steady-c.modelsStoredAt >= modelsPause
}

// EncodeModels returns the encoded models, for the next owner.
func (c *Core) EncodeModels(now Instant) ([]byte, error) {
	c.modelsStoredAt = now.Steady
	s := storedModels{Pairs: make(map[string]map[string]storedCoefficient, len(c.model.images))}
	for serving, r := range c.model.images {
		pairs := make(map[string]storedCoefficient, len(r.index))
		for image, i := range r.index {
			pairs[image] = storedCoefficient{r.mean[i], r.cov[i][i]}
		}
		s.Pairs[serving] = pairs
	}
	for key, r := range c.runTimesByKey {
		s.Times = append(s.Times, storedRunTime{key.queue, key.image, r.n, r.log})
	}
	for service, k := range c.reservedCapacity {
		s.Short = append(s.Short, storedDemand{service, k.peak, k.demand.mean, k.taskSize.mean, k.priority})
	}
	return json.Marshal(&s)
}

// Bounds of loaded values, far outside of what is learned: a damaged record
// must not lead to invalid values. A run time of e^12 s is two days.
const (
	maxCoefficient = 100.0
	maxLogRunTime  = 12.0
)

// LoadModels loads the models that the previous owner stored.
func (c *Core) LoadModels(value []byte) error {
	var s storedModels
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	for serving, pairs := range s.Pairs {
		r := c.model.regression(serving)
		for image, p := range pairs {
			if i := r.find(image); i >= 0 {
				r.mean[i], r.cov[i][i] = min(max(p.Mean, 0), maxCoefficient), min(max(p.Variance, 0)*loadedVarianceFactor, priorPairVar)
			}
		}
	}
	for _, x := range s.Short {
		k := c.reservedCapacityOf(x.Service)
		k.peak, k.priority = x.Peak, x.Priority
		k.demand = average{x.Demand, demandWindow}
		k.taskSize = average{x.Piece, demandWindow}
	}
	for _, t := range s.Times {
		c.runTimesByKey[runTimeKey{t.Queue, t.Image}] = &runTimes{n: max(t.N, 0), log: min(max(t.Log, -maxLogRunTime), maxLogRunTime)}
	}
	return nil
}
