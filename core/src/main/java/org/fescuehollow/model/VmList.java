package org.fescuehollow.model;

import java.util.List;
import java.util.Optional;

/**
 * All VMs of a deployment at one revision of the platform's list.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param revision the revision; it increases with each change
 * @param vms the VMs, with unique ids
 */
public record VmList(long revision, List<Vm> vms) {
    /** The list before the first response of the platform. */
    public static final VmList EMPTY = new VmList(0, List.of());

    /** Copies the VMs. */
    public VmList {
        vms = List.copyOf(vms);
    }

    /**
     * Returns the VMs of a role.
     *
     * @param role the role
     * @return the VMs in list order
     */
    public List<Vm> withRole(VmRole role) {
        return vms.stream().filter(vm -> vm.role() == role).toList();
    }

    /**
     * Returns the VMs of a service, including leaving ones.
     *
     * @param service the service's name
     * @return the VMs in list order
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
