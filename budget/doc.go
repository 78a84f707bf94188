// Package budget splits the caps of workspaces over the services: a granter gives the leader of each service a portion of
// each cap, so that what all services together start for a workspace stays within its cap.
package budget
