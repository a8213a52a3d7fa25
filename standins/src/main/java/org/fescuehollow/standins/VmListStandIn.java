package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * A fake of the platform's VM list, with long polls.
 *
 * <p>VMs may be changed from any thread; requests are handled on one event loop.
 */
public final class VmListStandIn extends StandInServer {
    private final Map<String, JsonObject> mVms = new TreeMap<>();
    private final LongPollQueue mPolls;
    private long mRevision;

    /**
     * Creates the stand-in.
     *
     * @param vertx the Vert.x instance that runs the event loop
     */
    public VmListStandIn(Vertx vertx) {
        super(vertx);
        mPolls = new LongPollQueue(vertx);
    }

    /**
     * Adds or replaces a VM in state live.
     *
     * @param id the VM id
     * @param role {@code entry}, {@code engine} or {@code service}
     * @param service the service name; empty for entry VMs
     * @param domain the failure domain
     * @param port the port on 127.0.0.1
     */
    public void put(String id, String role, String service, String domain, int port) {
        change(
                () ->
                        mVms.put(
                                id,
                                new JsonObject()
                                        .put("id", id)
                                        .put("role", role)
                                        .put("service", service)
                                        .put("domain", domain)
                                        .put("host", "127.0.0.1")
                                        .put("port", port)
                                        .put("state", "live")));
    }

    /**
     * Marks a VM as leaving.
     *
     * @param id the VM id
     */
    public void markLeaving(String id) {
        change(() -> mVms.get(id).put("state", "leaving"));
    }

    /**
     * Removes a VM.
     *
     * @param id the VM id
     */
    public void remove(String id) {
        change(() -> mVms.remove(id));
    }

    private synchronized void change(Runnable action) {
        action.run();
        mRevision++;
        vertx().runOnContext(v -> mPolls.releaseAll());
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        long after = Long.parseLong(request.getParam("after", "0"));
        long waitMillis = Long.parseLong(request.getParam("wait_ms", "0"));
        if (revision() > after || waitMillis == 0) {
            sendJson(request, 200, page());
        } else {
            mPolls.await(waitMillis, () -> sendJson(request, 200, page()));
        }
    }

    private synchronized long revision() {
        return mRevision;
    }

    private synchronized JsonObject page() {
        JsonArray vms = new JsonArray();
        mVms.values().forEach(vm -> vms.add(vm.copy()));
        return new JsonObject().put("revision", mRevision).put("vms", vms);
    }
}
