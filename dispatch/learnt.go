package dispatch

import (
	"encoding/json"
	"time"
)

// storedModels is what an owner stores of its models and of the demand of short tasks for the
// next owner: some kilobytes. Of the covariances only the variances are stored.
type learntState struct {
	// Pairs are the coefficients by serving image and fill image.
	Pairs map[string]map[string]learntPair `json:"pairs,omitempty"`
	Times []learntTime                     `json:"times,omitempty"`
	Short []learntShort                    `json:"short,omitempty"`
}

// storedDemand is the demand of the short tasks of a service, in thousandths of a core.
type learntShort struct {
	Service  string  `json:"service"`
	Peak     float64 `json:"peak"`
	Demand   float64 `json:"demand"`
	Piece    float64 `json:"piece"`
	Priority int     `json:"priority"`
}

// storedCoefficient is a coefficient of the interference model and its variance.
type learntPair struct {
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// storedRunTime is the average of the logarithms of the run times of a queue's tasks of one image.
type learntTime struct {
	Queue string  `json:"queue"`
	Image string  `json:"image,omitempty"`
	N     int     `json:"n"`
	Log   float64 `json:"log"`
}

// Parameters of the stored models.
const (
	// modelsPause is the minimum time between two records of the models.
	learntPause = 3 * time.Second
	// loadedVarianceFactor widens a variance that is loaded, for what has changed
	// since and for the covariances that are not stored.
	learntVarianceFactor = 2
)

// ModelsDue reports whether the models should be recorded again.
func (c *Core) LearntDue(now Instant) bool {
	return (len(c.model.images) > 0 || c.reservesCapacity()) && now.Steady-c.learntAt >= learntPause
}

// EncodeModels returns the encoded models, for the next owner.
func (c *Core) Learnt(now Instant) ([]byte, error) {
	c.learntAt = now.Steady
	s := learntState{Pairs: make(map[string]map[string]learntPair, len(c.model.images))}
	for serving, r := range c.model.images {
		pairs := make(map[string]learntPair, len(r.index))
		for image, i := range r.index {
			pairs[image] = learntPair{r.mean[i], r.cov[i][i]}
		}
		s.Pairs[serving] = pairs
	}
	for key, r := range c.perfByKey {
		s.Times = append(s.Times, learntTime{key.queue, key.image, r.n, r.log})
	}
	for service, k := range c.reservedCapacity {
		s.Short = append(s.Short, learntShort{service, k.peak, k.demand.mean, k.taskSize.mean, k.priority})
	}
	return json.Marshal(&s)
}

// Bounds of loaded values, far outside of what is learned: a damaged record
// must not lead to invalid values. A run time of e^12 s is two days.
const (
	mostCoefficient = 100.0
	mostLogTime     = 12.0
)

// LoadModels loads the models that the previous owner stored.
func (c *Core) TakeLearnt(value []byte) error {
	var s learntState
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	for serving, pairs := range s.Pairs {
		r := c.model.regression(serving)
		for image, p := range pairs {
			if i := r.find(image); i >= 0 {
				r.mean[i], r.cov[i][i] = min(max(p.Mean, 0), mostCoefficient), min(max(p.Variance, 0)*learntVarianceFactor, priorPairVar)
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
		c.perfByKey[runTimeKey{t.Queue, t.Image}] = &runTimes{n: max(t.N, 0), log: min(max(t.Log, -mostLogTime), mostLogTime)}
	}
	return nil
}
