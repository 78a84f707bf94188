// Package route turns the configuration and the roster into what the entry works with: services, upstreams, and this entry's part of their slots.
package route
