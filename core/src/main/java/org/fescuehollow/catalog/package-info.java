/** Model of the deployment as last published: routes, services and engines. */
package org.fescuehollow.catalog;
