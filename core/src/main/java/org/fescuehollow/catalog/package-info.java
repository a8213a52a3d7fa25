/** What the deployment is: routes, services and engines, as last published. */
package org.fescuehollow.catalog;
