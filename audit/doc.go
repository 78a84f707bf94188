// Package audit is the trail of decisions: who decided what, when, why and from which inputs, also where the decision was to refuse.
package audit
