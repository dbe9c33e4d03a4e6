/** Cases that differ in their load. */
import {BenchCase} from '../bench-case.js';
import {benchCases} from '../bench-cases.js';
import type {WorkloadOptions} from '../workload-options.js';

class Steady extends BenchCase {
	override readonly name = 'steady';
	override readonly meaning = 'all entries get the same traffic';
}

class Uneven extends BenchCase {
	override readonly name = 'uneven';
	override readonly meaning = 'one entry of each zone gets 80% of its traffic';

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, firstEntryShare: 0.8};
	}
}

class Burst extends BenchCase {
	override readonly name = 'burst';
	override readonly meaning = 'jobs come twenty at a time';
	override readonly load = 0.8;

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, burst: 20};
	}
}

class Overload extends BenchCase {
	override readonly name = 'overload';
	override readonly meaning = 'half as much again as there are slots for';
	override readonly load = 1.5;

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, deadlineMilliseconds: 10_000};
	}
}

class WrongDeclarations extends BenchCase {
	override readonly name = 'wrong-declarations';
	override readonly meaning = 'declared run times are off by up to ten times either way';

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, declarationError: 10};
	}
}

class CancelWave extends BenchCase {
	override readonly name = 'cancel-wave';
	override readonly meaning = 'a third of the jobs is cancelled within a second';

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, cancelledShare: 0.33};
	}
}

class Flood extends BenchCase {
	override readonly name = 'flood';
	override readonly meaning = 'one of two profiles sends five times its share, on top of the other\'s 45% of the slots';
	override readonly load = 2.7;

	override workload(options: WorkloadOptions): WorkloadOptions {
		return {...options, profiles: {'match-desk': 2.25 / 2.7}, deadlineMilliseconds: 5000};
	}
}

benchCases.register(new Steady(), new Uneven(), new Burst(), new Overload(), new WrongDeclarations(), new CancelWave(), new Flood());
