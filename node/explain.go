package node

import "encoding/json"

// explain returns, as JSON, where a job's tasks run and why others wait.
func (o *owner) explain(id string) (string, error) {
	o.mu.Lock()
	text, err := json.Marshal(o.core.Explain(id, o.now()))
	o.mu.Unlock()
	return string(text), err
}
