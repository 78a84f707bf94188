package job

import "math/bits"

const chunkSize = 64 // tasks of a row, which bounds its size

// Chunk is a run of a job's tasks that stands in one row of the table.
type Chunk struct {
	Done  uint64  `json:"done,omitempty"`  // a bit for each task that is done
	Gone  uint64  `json:"gone,omitempty"`  // a bit for each task that was dropped
	Tasks []*Task `json:"tasks,omitempty"` // started and not ended

	number int
	dirty  bool
}

// end drops the task's details and keeps the bit of its end.
func (c *Chunk) end(t *Task) {
	bit := uint64(1) << (t.Index % chunkSize)
	if t.State == Done {
		c.Done |= bit
	} else {
		c.Gone |= bit
	}
	for i, o := range c.Tasks {
		if o == t {
			c.Tasks = append(c.Tasks[:i], c.Tasks[i+1:]...)
			break
		}
	}
	c.dirty = true
}

// top returns the highest index that was ever started, or -1.
func (c *Chunk) top() int {
	top := -1
	for i := range chunkSize {
		if (c.Done|c.Gone)&(1<<i) != 0 {
			top = c.number*chunkSize + i
		}
	}
	for _, t := range c.Tasks {
		top = max(top, t.Index)
	}
	return top
}

func bitCount(b uint64) int {
	return bits.OnesCount64(b)
}
