package dispatch

import "testing"

// TestUnreadRecords: an unread record that can't be decoded stands for all tasks, a valid one for
// those that it names.
func TestUnreadRecords(t *testing.T) {
	gang, single := simpleJob(1, 2), simpleJob(2, 2)
	gang.Steps[0].Gang = true
	for value, want := range map[string][2]bool{
		"{":                                     {true, true},
		`{"any":true}`:                          {true, true},
		`{}`:                                    {false, false},
		`{"tasks":["` + single.ID + `.0.0.1"]}`: {false, true},
		`{"tasks":["` + gang.ID + `.0.0.1"]}`:   {true, false},
	} {
		core := leasedCore(Params{}, 1, Instant{})
		if err := core.RecoverUnread([]byte(value)); (err != nil) != (value == "{") {
			t.Errorf("%s: %v", value, err)
		}
		core.AddJob(gang, nil, false, Instant{})
		core.AddJob(single, nil, false, Instant{})
		has := [2]bool{
			core.lostUnread.has(core.jobs[gang.ID].steps[0].tasks[0]),
			core.lostUnread.has(core.jobs[single.ID].steps[0].tasks[1]),
		}
		if has != want {
			t.Errorf("%s: %v, want %v", value, has, want)
		}
	}
}
