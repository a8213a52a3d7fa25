package org.fescuehollow.server.call;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;

/**
 * One request of a caller, checked and completed from the published settings.
 *
 * <p>Immutable; the buffer must not be changed. Safe for use by any thread.
 *
 * @param id the request id, the caller's own or a new one
 * @param team the caller's team
 * @param weight the team's weight
 * @param priority the team's priority
 * @param service the service called
 * @param adapter the adapter called; empty for plain services
 * @param method the HTTP method
 * @param path path and query on the backend server
 * @param contentType the body's content type; empty if there is no body
 * @param traceParent the caller's trace context; empty if none
 * @param body the body as sent to the backend server
 * @param stream true if the answer comes as server-sent events
 * @param repeatable false if the call must run at most once
 * @param patienceMillis how long the call may wait for its start
 * @param crashes how many backend servers crashed while they ran this call
 */
public record Call(
        String id,
        String team,
        int weight,
        Priority priority,
        String service,
        Optional<AdapterRef> adapter,
        String method,
        String path,
        String contentType,
        String traceParent,
        Buffer body,
        boolean stream,
        boolean repeatable,
        long patienceMillis,
        int crashes) {
    /**
     * Returns a digest by which the same request is known again, whatever its id.
     *
     * @return 64 bits over team, target and body
     */
    public long digest() {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(team)
                .putString(service)
                .putString(adapter.map(AdapterRef::toString).orElse(""))
                .putString(method)
                .putString(path)
                .putByteArray(body.getBytes())
                .getAsLong();
    }

    /**
     * Returns this call as its next attempt carries it.
     *
     * @param patienceLeftMillis the time that is left to wait for its start, in milliseconds
     * @param crashesSoFar how many backend servers crashed while they ran it
     * @return the new call
     */
    public Call forAttempt(long patienceLeftMillis, int crashesSoFar) {
        return new Call(
                id,
                team,
                weight,
                priority,
                service,
                adapter,
                method,
                path,
                contentType,
                traceParent,
                body,
                stream,
                repeatable,
                patienceLeftMillis,
                crashesSoFar);
    }
}
