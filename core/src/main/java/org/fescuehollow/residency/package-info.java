/** Which adapters are loaded on which engine, and which node may give the engine orders. */
package org.fescuehollow.residency;
