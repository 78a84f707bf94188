// Package pool holds pools of instances: which instances belong to which pool, and which of them may be taken out of service under the pool's availability budget.
package pool
