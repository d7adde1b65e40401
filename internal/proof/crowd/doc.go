// Package crowd checks that clients outside the limits of the configuration end no process. Its tests start `hickorynotch gateway` as a
// process with little memory and few file descriptors, and let a crowd of clients send what no ordinary caller sends. The resident memory
// and the open descriptors of the process must stay below what its settings state, and an ordinary request must be answered meanwhile.
package crowd
