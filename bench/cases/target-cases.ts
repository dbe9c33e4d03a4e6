/** Cases in which targets misbehave. */
import {request} from 'undici';
import type {Fleet} from '../../fleet/fleet.js';
import type {FleetPlan} from '../../fleet/fleet-plan.js';
import {BenchCase} from '../bench-case.js';
import {benchCases} from '../bench-cases.js';

async function behave(fleet: Fleet, zone: string, behaviour: Record<string, unknown>): Promise<void> {
	const [address] = fleet.targets.get(zone) ?? [];
	const response = await request(`http://${address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await response.body.dump();
}

class FailingTarget extends BenchCase {
	override readonly name = 'failing-target';
	override readonly meaning = 'one target of zone-1 fails every task at once';
	override readonly load = 0.7;

	override async disturb(fleet: Fleet): Promise<void> {
		await behave(fleet, 'zone-1', {mode: 'failing'});
	}
}

class Stragglers extends BenchCase {
	override readonly name = 'stragglers';
	override readonly meaning = 'one target of each zone takes five times as long';
	override readonly load = 0.7;

	override async disturb(fleet: Fleet): Promise<void> {
		for (const zone of fleet.zones) {
			await behave(fleet, zone, {slowness: 5});
		}
	}
}

class Trial extends BenchCase {
	override readonly name = 'trial';
	override readonly meaning = 'a tenth of the submissions goes to a variant that fails everything';
	override readonly load = 0.7;

	override fleetPlan(plan: FleetPlan): FleetPlan {
		return {...plan, firstTargetLabels: ['canary']};
	}

	override profile(): string {
		return '[variant]\nlabel = "canary"\nshare = 0.1\n[variant.guard]\nminimumTasks = 5\n';
	}

	override async disturb(fleet: Fleet): Promise<void> {
		for (const zone of fleet.zones) {
			await behave(fleet, zone, {mode: 'failing'});
		}
	}
}

benchCases.register(new FailingTarget(), new Stragglers(), new Trial());
