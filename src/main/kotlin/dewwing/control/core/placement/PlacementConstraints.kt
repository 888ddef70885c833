package dewwing.control.core.placement

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType

/** Which machines a job may use, regardless of their free capacity and of the job's other tasks; for these see [ZoneLimits]. */
object PlacementConstraints {
    fun allowsType(
        spec: JobSpec,
        type: MachineType,
    ): Boolean = (spec.types == null || type.name in spec.types) && type.size.canFit(spec.need)

    /** Whether the job may use machines of this type, zone and kind, existing ones or new ones. */
    fun allowsMarket(
        spec: JobSpec,
        type: MachineType,
        zone: String,
        spot: Boolean,
    ): Boolean = allowsType(spec, type) && (spec.zone == null || spec.zone == zone) && (spec.spot || !spot)

    /** Whether the job failed on this machine recently, so that it is not placed there. */
    fun avoids(
        job: Job,
        machine: MachineId,
    ): Boolean = job.avoidedMachines.isNotEmpty() && machine.value in job.avoidedMachines

    fun allowsMachine(
        job: Job,
        machine: Machine,
    ): Boolean {
        val type = machine.type ?: return false
        return allowsMarket(job.spec, type, machine.zone, machine.spot) && !avoids(job, machine.id)
    }

    /**
     * The allowed types that suit the job best. A task that needs no accelerators gets types without them if one of
     * those can hold it: best fit alone would fill accelerator machines with tasks that block gangs.
     */
    fun preferredTypes(
        spec: JobSpec,
        types: Collection<MachineType>,
    ): List<MachineType> {
        val allowed = types.filter { allowsType(spec, it) }
        if (spec.need.accelerators > 0) return allowed
        val withoutAccelerators = allowed.filter { it.size.accelerators <= 0 }
        return withoutAccelerators.ifEmpty { allowed }
    }
}
