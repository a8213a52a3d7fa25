/** The training run for the class data sharing archive that the build makes. */
package org.fescuehollow.gateway.training;
