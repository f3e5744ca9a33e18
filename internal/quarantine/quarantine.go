// Package quarantine keeps requests under which replicas have ended from ending further ones.
package quarantine
