package org.fescuehollow.server.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.server.loop.ResponseHeads;
import org.fescuehollow.server.platform.Json;

/**
 * Paths, headers and forms of the protocol towards engines.
 *
 * <p>Completions and adapter orders follow the OpenAI-compatible servers in common use; load
 * reports and fencing numbers are this project's extension. Stateless and thread-safe.
 */
public final class EngineProtocol {
    /** Path of the order to load an adapter. */
    public static final String LOAD_PATH = "/v1/load_lora_adapter";

    /** Path of the order to unload an adapter. */
    public static final String UNLOAD_PATH = "/v1/unload_lora_adapter";

    /** Path of the load report. */
    public static final String REPORT_PATH = "/load";

    /** Header that carries a fencing number. */
    public static final String FENCING_HEADER = "Fencing-Number";

    /** Header that carries the request id. */
    public static final String REQUEST_ID_HEADER = ResponseHeads.REQUEST_ID_HEADER;

    /** Header that carries the attempt. */
    public static final String ATTEMPT_HEADER = ResponseHeads.ATTEMPT_HEADER;

    private EngineProtocol() {}

    /**
     * Writes the body of a load or unload order.
     *
     * @param adapter the adapter
     * @return JSON
     */
    public static Buffer order(AdapterRef adapter) {
        ObjectNode body = Json.object();
        body.put("lora_name", adapter.toString());
        body.put("lora_path", adapter.name() + "/" + adapter.version());
        return Json.write(body);
    }

    /**
     * Reads a load report.
     *
     * @param json the body
     * @return the report; adapters whose names have no version are left out
     * @throws FescuehollowException if the form is wrong
     */
    public static EngineReport report(byte[] json) {
        JsonNode tree = Json.read("engine report", json);
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        tree.path("adapters")
                .fields()
                .forEachRemaining(
                        e ->
                                AdapterRef.parse(e.getKey())
                                        .ifPresent(a -> running.put(a, e.getValue().asInt())));
        return new EngineReport(
                Json.text("engine report", tree, "incarnation"),
                running,
                tree.path("highest_fencing").asLong());
    }
}
