// Package overload has tests that start real daemons with small limits and let crowds of clients that never finish their
// requests occupy them.
package overload
