package org.fescuehollow.model;

import java.util.List;
import java.util.Optional;

/**
 * All VMs of a deployment at one revision of the platform's list.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param revision grows with each change
 * @param vms the VMs, each id once
 */
public record VmList(long revision, List<Vm> vms) {
    /** The list before the platform has answered. */
    public static final VmList EMPTY = new VmList(0, List.of());

    /** Creates the list from a copy of the VMs. */
    public VmList {
        vms = List.copyOf(vms);
    }

    /**
     * Returns the VMs of a role.
     *
     * @param role the role
     * @return the VMs in the list's order
     */
    public List<Vm> withRole(VmRole role) {
        return vms.stream().filter(vm -> vm.role() == role).toList();
    }

    /**
     * Returns the VMs of a service, leaving ones included.
     *
     * @param service the service's name
     * @return the VMs in the list's order
     */
    public List<Vm> ofService(String service) {
        return vms.stream()
                .filter(vm -> vm.role() != VmRole.ENTRY)
                .filter(vm -> vm.service().equals(service))
                .toList();
    }

    /**
     * Finds a VM.
     *
     * @param id the VM's id
     * @return the VM, if listed
     */
    public Optional<Vm> find(String id) {
        return vms.stream().filter(vm -> vm.id().equals(id)).findFirst();
    }
}
