package org.fescuehollow.server.platform;

import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;

/** Reads the VM list's JSON form. Stateless and safe for use by any thread. */
public final class VmPage {
    private VmPage() {}

    /**
     * Reads a list.
     *
     * @param json the body of an answer
     * @return the list
     * @throws FescuehollowException if the form is wrong
     */
    public static VmList parse(byte[] json) {
        JsonNode tree = Json.read("VM list", json);
        List<Vm> vms = new ArrayList<>();
        tree.path("vms").forEach(v -> vms.add(vm(v)));
        return new VmList(tree.path("revision").asLong(), vms);
    }

    private static Vm vm(JsonNode v) {
        try {
            return new Vm(
                    Json.text("VM list", v, "id"),
                    VmRole.valueOf(Json.text("VM list", v, "role").toUpperCase(Locale.ROOT)),
                    v.path("service").asText(""),
                    Json.text("VM list", v, "domain"),
                    Json.text("VM list", v, "host"),
                    v.path("port").asInt(),
                    VmState.valueOf(Json.text("VM list", v, "state").toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            throw new FescuehollowException(
                    shouldBeWellFormed("VM list", "a valid VM", e.getMessage()));
        }
    }
}
